package io.bilberryvalve.gateway.http;

import java.util.Map;

import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import net.jqwik.api.Assume;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Transport}.
 */
class TransportTests {

	private static final int SILENCE_SECONDS = 2;

	// Guards against connections to a sound peer that the operating system closes because
	// its packets stopped for two seconds.
	@Example
	void operatingSystemToleratesASilenceOfTwoSeconds() {
		try (Transport transport = new Transport(1)) {
			Assume.that(transport.usesNativeTransport());
			Map<ChannelOption<?>, Object> options = transport.clientBootstrap(transport.next()).config().options();
			int idle = (int) options.get(EpollChannelOption.TCP_KEEPIDLE);
			int interval = (int) options.get(EpollChannelOption.TCP_KEEPINTVL);
			int probes = (int) options.get(EpollChannelOption.TCP_KEEPCNT);
			assertThat(idle + interval * probes).isGreaterThan(SILENCE_SECONDS);
			assertThat((int) options.get(EpollChannelOption.TCP_USER_TIMEOUT)).isGreaterThan(SILENCE_SECONDS * 1000);
		}
	}

}
