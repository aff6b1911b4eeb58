package org.magnolialead.daemon.control;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.engine.control.ApplyResult;
import org.magnolialead.engine.control.ControlState;

/**
 * Holds the control state of this member. Any thread may read the state while a single
 * thread applies commands.
 */
public final class ControlStateMachine implements ReplicatedStateMachine {

	private final AtomicReference<ControlState> state = new AtomicReference<>(ControlState.initial());

	private final ControlSnapshotCodec codec = new ControlSnapshotCodec();

	/**
	 * Returns the state after the last applied command.
	 * @return the state
	 */
	public ControlState state() {
		return this.state.get();
	}

	@Override
	public CommandResult apply(ControlCommand command) {
		ApplyResult applied = this.state.get().apply(command);
		this.state.set(applied.state());
		return applied.result();
	}

	@Override
	public Supplier<byte[]> snapshot() {
		ControlState taken = this.state.get();
		return () -> this.codec.encode(taken);
	}

	@Override
	public void restore(byte[] snapshot) {
		this.state.set(this.codec.decode(snapshot));
	}

}
