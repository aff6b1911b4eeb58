package org.magnolialead.transport.relay;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of relays that answer more than once or whose answer is cut.
 */
class RelayHandshakeTests {

	private static final int CUT_BYTES = 6;

	private final List<String> events = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private void receive(ByteBuf... answers) {
		RelayHandshake.addTo(this.channel.pipeline(), new RelayRequest("group", "member"),
				() -> this.events.add("rejected"));
		this.channel.pipeline().addLast(new Endpoint());
		this.channel.writeInbound(Unpooled.wrappedBuffer(answers));
		this.channel.close();
	}

	private static ByteBuf answer(boolean connected) {
		return RelayCodec.encode(new RelayAnswer(connected));
	}

	/**
	 * Guards against a connection that is used although the relay does not reach the
	 * member, because a second answer follows the first one.
	 */
	@Test
	void answerAfterARejectionIsIgnored() {
		receive(answer(false), answer(true));
		assertThat(this.events).containsExactly("rejected");
	}

	/**
	 * Guards against a second rejection that is reported for a connection that is closed.
	 */
	@Test
	void repeatedRejectionIsReportedOnce() {
		receive(answer(false), answer(false));
		assertThat(this.events).containsExactly("rejected");
	}

	/**
	 * Guards against an answer behind a cut one that is believed.
	 */
	@Test
	void answerBehindACutOneIsIgnored() {
		receive(answer(true).slice(0, Integer.BYTES + CUT_BYTES), answer(true), answer(true));
		assertThat(this.events).isEmpty();
	}

	/**
	 * Guards against a second answer that is dropped silently. The endpoint must receive
	 * its bytes, because it alone knows what the member may send.
	 */
	@Test
	void bytesAfterTheAnswerReachTheEndpoint() {
		receive(answer(true), answer(true));
		assertThat(this.events).containsExactly("active", "bytes " + answer(true).readableBytes());
	}

	private final class Endpoint extends ChannelInboundHandlerAdapter {

		@Override
		public void channelActive(ChannelHandlerContext context) {
			RelayHandshakeTests.this.events.add("active");
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf bytes = (ByteBuf) message;
			RelayHandshakeTests.this.events.add("bytes " + bytes.readableBytes());
			bytes.release();
		}

	}

}
