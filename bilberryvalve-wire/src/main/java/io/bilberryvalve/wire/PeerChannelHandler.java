package io.bilberryvalve.wire;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.wire.proto.PeerMessage;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.jspecify.annotations.Nullable;

/**
 * Channel handler that performs the {@link Handshake} of one connection and then passes
 * its messages to the {@link ConnectionListener}. It closes a connection whose handshake
 * takes too long or whose messages claim another sender. All methods run on the event
 * loop of the channel.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<PeerMessage> {

	private static final Logger LOGGER = System.getLogger(PeerChannelHandler.class.getName());

	private final Handshake handshake;

	private final boolean initiator;

	private final TransportLimits limits;

	private final ConnectionListener listener;

	private final CompletableFuture<PeerConnection> result;

	private boolean helloReceived;

	private @Nullable PeerConnection connection;

	PeerChannelHandler(Handshake handshake, boolean initiator, TransportLimits limits, ConnectionListener listener,
			CompletableFuture<PeerConnection> result) {
		this.handshake = handshake;
		this.initiator = initiator;
		this.limits = limits;
		this.listener = listener;
		this.result = result;
	}

	/**
	 * Adds the frame and protobuf codecs and this handler to a pipeline.
	 * @param pipeline pipeline of the channel of a new connection
	 */
	void install(ChannelPipeline pipeline) {
		pipeline.addLast(new PeerFrameDecoder(this.limits.maxFrameBytes()),
				new ProtobufDecoder(PeerMessage.getDefaultInstance()),
				new LengthFieldPrepender(PeerFrameDecoder.LENGTH_BYTES), new ProtobufEncoder(), this);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (this.initiator) {
			context.writeAndFlush(this.handshake.hello());
		}
		context.executor()
			.schedule(() -> closeIfUnauthenticated(context), this.limits.handshakeTimeout().toMillis(),
					TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, PeerMessage message) throws HandshakeException {
		if (this.connection == null) {
			authenticate(context, message);
		}
		else if (!message.getSender().equals(this.connection.remote().vm().value())
				|| message.getIncarnation() != this.connection.remote().incarnation()) {
			this.connection.close("a message claims another sender than the authenticated one");
		}
		else {
			this.listener.onMessage(this.connection, message);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.connection != null) {
			this.listener.onClosed(this.connection, this.connection.closeReason());
		}
		this.result.completeExceptionally(new HandshakeException("the connection ended before authentication"));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LogEvent.of("peer-connection-failed")
			.with("remote", context.channel().remoteAddress())
			.with("reason", cause.getMessage())
			.log(LOGGER, Level.DEBUG);
		this.result.completeExceptionally(cause);
		if (this.connection != null) {
			this.connection.close(String.valueOf(cause.getMessage()));
		}
		else {
			context.close();
		}
	}

	private void authenticate(ChannelHandlerContext context, PeerMessage message) throws HandshakeException {
		if (!this.helloReceived) {
			this.handshake.acceptHello(message);
			this.helloReceived = true;
			context.writeAndFlush(this.initiator ? this.handshake.createProof() : this.handshake.hello());
			return;
		}
		PeerIdentity remote = this.handshake.verify(message);
		if (!this.initiator) {
			context.writeAndFlush(this.handshake.createProof());
		}
		context.pipeline().get(PeerFrameDecoder.class).setAuthenticated();
		PeerConnection opened = new PeerConnection(context.channel(), this.handshake.localIdentity(), remote,
				this.initiator, this.limits);
		this.connection = opened;
		this.listener.onOpened(opened);
		this.result.complete(opened);
	}

	private void closeIfUnauthenticated(ChannelHandlerContext context) {
		if (this.connection == null && context.channel().isActive()) {
			context.close();
		}
	}

}
