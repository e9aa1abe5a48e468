package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.membership.Member;
import io.bilberryvalve.policy.membership.MemberState;
import io.bilberryvalve.policy.membership.MemberView;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class EntriesHandlerTests {

	private final Lifecycle lifecycle = new Lifecycle();

	private final List<MemberView> others = new ArrayList<>();

	private final EntriesHandler handler = new EntriesHandler(() -> member(1), () -> this.others, this.lifecycle,
			Duration.ofMillis(7900));

	// Guards against entry lists that contain an entry that is starting or leaving
	// (R5).
	@Example
	void listsOnlyReadyEntries() {
		this.others.add(new MemberView(member(2), MemberState.LIVE, true));
		this.others.add(new MemberView(member(3), MemberState.LIVE, false));
		this.others.add(new MemberView(member(4), MemberState.LEAVING, true));
		assertThat(this.handler.document())
			.isEqualTo("{\"entries\":[{\"address\":\"127.0.0.1:2\",\"dataCentre\":\"dc\"}],\"ttlSeconds\":7}");
		this.lifecycle.advanceTo(ServingState.READY);
		assertThat(this.handler.document()).contains("127.0.0.1:1", "127.0.0.1:2").doesNotContain(":3\"", ":4\"");
		this.lifecycle.advanceTo(ServingState.LEAVING);
		assertThat(this.handler.document()).doesNotContain("127.0.0.1:1\"");
	}

	private static Member member(int port) {
		return new Member(new VmId("vm-" + port), 1, new DataCentreId("dc"), new Address("127.0.0.1", port),
				new Address("127.0.0.1", 100 + port));
	}

}
