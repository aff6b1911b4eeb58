package org.magnolialead.ctl;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Shows or changes the configuration of the fleet.
 */
final class ConfigCommand implements CtlCommand {

	@Argument(required = true, metaVar = "show|put-profile|remove-profile|set-floors", handler = CommandHandler.class)
	@SubCommands({ @SubCommand(name = "show", impl = ConfigShowCommand.class),
			@SubCommand(name = "put-profile", impl = PutProfileCommand.class),
			@SubCommand(name = "remove-profile", impl = RemoveProfileCommand.class),
			@SubCommand(name = "set-floors", impl = SetFloorsCommand.class) })
	private CtlCommand command;

	@Override
	public void run(CtlContext context) {
		this.command.run(context);
	}

}
