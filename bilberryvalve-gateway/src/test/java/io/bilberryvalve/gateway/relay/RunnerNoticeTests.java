package io.bilberryvalve.gateway.relay;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

import static org.assertj.core.api.Assertions.assertThat;

class RunnerNoticeTests {

	private static RunnerNotice notice(int status, String header, String... values) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		head.headers().add(header, List.of(values));
		return RunnerNotice.of(head, RelayFixture.HEADER_NAMES);
	}

	@Example
	void leavingIsReadFromAnyResponse() {
		assertThat(notice(200, "X-Leaving", "1").leaving()).isTrue();
		assertThat(notice(500, "x-leaving", "1").leaving()).isTrue();
		assertThat(notice(200, "x-other", "1")).isEqualTo(RunnerNotice.NONE);
	}

	// Guards against a service that is emptied by headers that state something else.
	@Example
	void otherValuesDoNotMeanLeaving() {
		for (String value : List.of("", "0", "true", "11", "-1", "1,0")) {
			assertThat(notice(200, "x-leaving", value).leaving()).as(value).isFalse();
		}
	}

	@Example
	void delayIsReadInSeconds() {
		assertThat(notice(503, "Retry-After", "2").pauseMillis()).isEqualTo(2000);
		assertThat(notice(503, "retry-after", "0.25").pauseMillis()).isEqualTo(250);
		assertThat(notice(503, "Retry-After", "0").pauseMillis()).isZero();
		assertThat(notice(503, "Retry-After", "31536000").pauseMillis()).isEqualTo(31_536_000_000L);
	}

	@Example
	void longestOfSeveralDelaysCounts() {
		assertThat(notice(503, "Retry-After", "1", "3", "-7").pauseMillis()).isEqualTo(3000);
	}

	@Example
	void valuesThatAreNoDelaysAreIgnored() {
		SoftAssertions softly = new SoftAssertions();
		for (String value : List.of("", "-1", "NaN", "Infinity", "1e9", "0x10", "1,2", "99999999999", ".5",
				"Wed, 21 Oct 2026 07:28:00 GMT")) {
			softly.assertThat(notice(503, "Retry-After", value)).as(value).isEqualTo(RunnerNotice.NONE);
		}
		softly.assertAll();
	}

	@Example
	void delayInAnotherStatusIsNoPause() {
		for (int status : List.of(200, 429, 500)) {
			assertThat(notice(status, "Retry-After", "2")).as("status " + status).isEqualTo(RunnerNotice.NONE);
		}
	}

}
