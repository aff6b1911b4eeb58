package org.magnolialead.ctl;

import java.util.UUID;

import org.kohsuke.args4j.Option;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;

/**
 * Base class of commands that change the configuration of the fleet.
 */
abstract class AbstractConfigChangeCommand extends AbstractControlCommand {

	@Option(name = "--expected-version", metaVar = "VERSION",
			usage = "configuration version on which the change is based; defaults to the current version")
	private Long expectedVersion;

	@Option(name = "--request-id", metaVar = "ID",
			usage = "identifier of the change; pass the same one to resend a change whose response was lost")
	private String requestId = UUID.randomUUID().toString();

	@Override
	public final void run(CtlContext context) {
		ControlClient client = client(context);
		long version = (this.expectedVersion != null) ? this.expectedVersion
				: client.leaderView().view().configuration().version();
		ChangeConfiguration change = change(this.requestId, version);
		try {
			CommandResult result = client.submit(change);
			context.output()
				.printf("accepted configuration version %d request id %s%n", result.version(), this.requestId);
		}
		catch (CtlException ex) {
			throw new CtlException(ex.exitCode(), ex.getMessage() + " (request id " + this.requestId + ")");
		}
	}

	/**
	 * Returns the command for the change.
	 * @param changeRequestId identifier of the change
	 * @param version configuration version on which the change is based
	 * @return the command
	 * @throws CtlException if the options do not describe a valid change
	 */
	abstract ChangeConfiguration change(String changeRequestId, long version);

}
