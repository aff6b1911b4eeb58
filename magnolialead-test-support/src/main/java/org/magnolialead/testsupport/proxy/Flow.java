package org.magnolialead.testsupport.proxy;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.util.ReferenceCountUtil;

/**
 * Forwards the bytes of one connection in one direction. Confined to the event loop of
 * the proxy.
 */
final class Flow {

	private final Channel source;

	private final Channel destination;

	private final Queue<Segment> delayedSegments = new ArrayDeque<>();

	private FaultMode mode = FaultMode.CONTINUE;

	private long delayNanoseconds;

	private long latestDeliveryTime = System.nanoTime();

	private boolean droppedBytes;

	private boolean sourceClosed;

	Flow(Channel source, Channel destination) {
		this.source = source;
		this.destination = destination;
	}

	/**
	 * Changes the fault mode of this direction. Resets the connection if it has lost
	 * bytes and the direction is no longer cut.
	 * @param newMode the fault mode
	 * @param newDelayNanoseconds delay in nanoseconds, or 0
	 */
	void applyFault(FaultMode newMode, long newDelayNanoseconds) {
		this.mode = newMode;
		this.delayNanoseconds = newDelayNanoseconds;
		if (newMode != FaultMode.CUT && this.droppedBytes) {
			reset(this.source);
			reset(this.destination);
			return;
		}
		this.source.config().setAutoRead(newMode != FaultMode.HOLD && this.destination.isWritable());
		if (this.sourceClosed) {
			handleSourceClosed();
		}
	}

	void handleBytes(ByteBuf bytes) {
		if (this.mode == FaultMode.CUT) {
			this.droppedBytes = true;
			ReferenceCountUtil.release(bytes);
			return;
		}
		if (this.delayNanoseconds == 0 && this.delayedSegments.isEmpty()) {
			this.destination.writeAndFlush(bytes);
		}
		else {
			enqueueDelayed(bytes);
		}
	}

	/**
	 * Forwards the end of the stream from the source. If the direction is cut or held,
	 * the end is forwarded when the fault ends.
	 */
	void handleSourceClosed() {
		this.sourceClosed = true;
		if (this.mode == FaultMode.CUT || this.mode == FaultMode.HOLD) {
			return;
		}
		if (this.delayNanoseconds == 0 && this.delayedSegments.isEmpty()) {
			this.destination.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}
		else {
			enqueueDelayed(null);
		}
	}

	void destinationWritabilityChanged() {
		this.source.config().setAutoRead(this.mode != FaultMode.HOLD && this.destination.isWritable());
	}

	/**
	 * Closes a channel with a TCP reset instead of an orderly shutdown.
	 * @param channel the channel
	 */
	static void reset(Channel channel) {
		if (channel.isOpen()) {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
			channel.close();
		}
	}

	private void enqueueDelayed(ByteBuf bytes) {
		long deliveryTime = System.nanoTime() + this.delayNanoseconds;
		this.latestDeliveryTime = (deliveryTime - this.latestDeliveryTime > 0) ? deliveryTime : this.latestDeliveryTime;
		this.delayedSegments.add(new Segment(bytes));
		this.destination.eventLoop()
			.schedule(this::deliverNext, this.latestDeliveryTime - System.nanoTime(), TimeUnit.NANOSECONDS);
	}

	private void deliverNext() {
		Segment segment = this.delayedSegments.remove();
		if (this.mode == FaultMode.CUT) {
			this.droppedBytes = true;
			ReferenceCountUtil.release(segment.bytes());
		}
		else if (segment.bytes() == null) {
			this.destination.close();
		}
		else {
			this.destination.writeAndFlush(segment.bytes());
		}
	}

	/**
	 * Bytes that wait for their delivery time.
	 *
	 * @param bytes the bytes, or {@code null} for the end of the stream
	 */
	private record Segment(ByteBuf bytes) {
	}

}
