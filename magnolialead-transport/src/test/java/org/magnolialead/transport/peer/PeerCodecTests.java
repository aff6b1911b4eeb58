package org.magnolialead.transport.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.ConsensusMessage;
import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.message.QuotaRequest;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.api.message.ViewQuery;
import org.magnolialead.transport.TestChecks;

class PeerCodecTests {

	private final PeerCodec codec = new PeerCodec();

	/**
	 * Guards against records that cannot be decoded because of derived accessors or
	 * {@code null} fields.
	 */
	@Test
	void messagesAreUnchangedAfterRoundTrip() {
		MemberDescription member = new MemberDescription("g", "m", "127.0.0.1:1", "z", 2, 20, false);
		FleetViewChange change = new FleetViewChange(1, 2, true, FleetConfiguration.initial(), List.of(), List.of(),
				List.of("gone"), 2);
		List<Object> messages = List.of(new ViewQuery(), new HeartbeatAnswer(2_500, "", change),
				new SubmitCommandRequest(new ControlCommand.AnnounceMember(member)),
				new SubmitCommandAnswer(CommandResult.accepted(7), null, "a:1"),
				new ViewAnswer("c", true, "", 1, 2, 3, List.of("c"), FleetView.EMPTY, Map.of("d", 4L)),
				new QuotaRequest("d", "i", List.of(new QuotaDemand("a", 1, 2, 3))),
				new QuotaAnswer("a:1", true, List.of(new QuotaGrant("a", 1, 20))), QuotaAnswer.notLeader(""),
				new ConsensusMessage.VoteRequest(new ControlIdentity("n", "i", "a:1"), "c", 3, true, 2, 9));
		for (Object message : messages) {
			PeerFrame frame = decode(this.codec.encode(5, message));
			TestChecks.checkEquals(message, frame.message());
			TestChecks.checkEquals(5L, frame.correlationId());
		}
	}

	/**
	 * Guards against statements whose bytes are changed by encoding, for example by a
	 * character conversion.
	 */
	@Test
	void statementBytesArePreserved() {
		byte[] statement = "{\"note\":\"Hơi Ấm\"}".getBytes(StandardCharsets.UTF_8);
		ExecuteRequest request = new ExecuteRequest("g", StatementKind.WRITE, statement, "p", "s",
				new LogPosition(3, 4), "k", "", 5_000, 1);
		ExecuteRequest decoded = (ExecuteRequest) decode(this.codec.encode(1, request)).message();
		TestChecks.checkEquals(statement, decoded.statement());
		TestChecks.checkEquals(request.sessionPosition(), decoded.sessionPosition());
	}

	/**
	 * Guards against malformed frames that are decoded as messages, or that make the
	 * parser allocate memory for a length that they only declare.
	 */
	@Test
	void malformedFramesAreRejected() {
		ByteBuf unknownKind = Unpooled.buffer().writeByte(99).writeLong(1);
		ByteBuf tooShort = Unpooled.buffer().writeByte(1);
		ByteBuf undecodable = Unpooled.buffer().writeByte(1).writeLong(1).writeByte(0xC1);
		ByteBuf emptyBody = Unpooled.buffer().writeByte(1).writeLong(1);
		ByteBuf nullBody = Unpooled.buffer().writeByte(1).writeLong(1).writeByte(0xC0);
		ByteBuf hugeValue = Unpooled.buffer().writeByte(1).writeLong(1).writeByte(0xC6).writeInt(Integer.MAX_VALUE);
		ByteBuf trailing = Unpooled.buffer().writeByte(8).writeLong(1).writeByte(0x80).writeByte(0x80);
		for (ByteBuf frame : List.of(unknownKind, tooShort, undecodable, emptyBody, nullBody, hugeValue, trailing)) {
			TestChecks.checkThrows(IllegalArgumentException.class, () -> this.codec.decode(frame));
		}
	}

	/**
	 * Guards against sending a frame that every receiver would reject.
	 */
	@Test
	void oversizedMessageIsNotEncoded() {
		ExecuteRequest request = new ExecuteRequest("g", StatementKind.READ, new byte[PeerCodec.MAXIMUM_FRAME_BYTES],
				"p", "", LogPosition.NONE, "", "", 1, 1);
		TestChecks.checkThrows(IllegalArgumentException.class, () -> this.codec.encode(1, request));
	}

	private PeerFrame decode(ByteBuf frame) {
		frame.skipBytes(PeerCodec.LENGTH_BYTES);
		return this.codec.decode(frame);
	}

}
