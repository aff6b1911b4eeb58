package org.magnolialead.ctl;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.Setter;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;

/**
 * Argument handler that instantiates package-private commands; the default handler of
 * args4j requires public classes.
 */
public final class CommandHandler extends SubCommandHandler {

	/**
	 * Creates a handler; called by args4j.
	 * @param parser the parser
	 * @param option the argument
	 * @param setter setter of the field
	 */
	public CommandHandler(CmdLineParser parser, OptionDef option, Setter<Object> setter) {
		super(parser, option, setter);
	}

	@Override
	protected Object instantiate(SubCommand command) {
		try {
			return command.impl().getDeclaredConstructor().newInstance();
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("cannot create command " + command.name(), ex);
		}
	}

}
