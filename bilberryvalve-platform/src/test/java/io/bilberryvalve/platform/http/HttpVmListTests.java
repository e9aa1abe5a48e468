package io.bilberryvalve.platform.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.VmList;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class HttpVmListTests {

	private static final String GOOD = "{\"vm\":\"pav-1\",\"dataCentre\":\"dc\",\"address\":\"127.0.0.1:8001\","
			+ "\"peerAddress\":\"127.0.0.1:8101\",\"state\":\"leaving\"}";

	private static final List<String> ODD = List.of("7", "null", "{}", "[]", GOOD.replace("8001", "80010"),
			GOOD.replace("8101", "-1"), GOOD.replace("pav-1", ""), GOOD.replace("\"leaving\"", "9".repeat(2000)),
			GOOD.replace("\"leaving\"", "1e999999999"),
			GOOD.replace("\"leaving\"", "[".repeat(5000) + "]".repeat(5000)));

	// Guards against daemons that stop following the list of VMs because of one entry.
	@Example
	void leavesOutAnOddEntry() throws Exception {
		for (String odd : ODD) {
			String body = "{\"vms\":[" + odd + "," + GOOD + "," + odd + "]}";
			try (StubServer server = new StubServer(StubServer.response(200, body));
					FailoverHttpClient client = new FailoverHttpClient(List.of(server.address()), Duration.ofSeconds(2),
							Duration.ofSeconds(10))) {
				ReadResult<List<VmList.Vm>> read = new HttpVmList(client).read()
					.toCompletableFuture()
					.get(20, TimeUnit.SECONDS);
				assertThat(read).as(odd.substring(0, Math.min(80, odd.length())))
					.isInstanceOfSatisfying(ReadResult.Found.class,
							(found) -> assertThat((List<VmList.Vm>) found.value()).extracting((vm) -> vm.vm().value())
								.contains("pav-1"));
			}
		}
	}

	// Guards against an answer of another kind that is taken for an empty list.
	@Example
	void refusesAnAnswerWithoutAList() throws Exception {
		for (String body : List.of("", "7", "[]", "{\"vms\":", "{\"vms\":[" + GOOD)) {
			try (StubServer server = new StubServer(StubServer.response(200, body));
					FailoverHttpClient client = new FailoverHttpClient(List.of(server.address()), Duration.ofSeconds(2),
							Duration.ofSeconds(10))) {
				assertThat(new HttpVmList(client).read().toCompletableFuture().get(20, TimeUnit.SECONDS)).as(body)
					.isInstanceOf(ReadResult.Failed.class);
			}
		}
	}

}
