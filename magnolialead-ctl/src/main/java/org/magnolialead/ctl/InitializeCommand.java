package org.magnolialead.ctl;

import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.message.InitializeAnswer;
import org.magnolialead.api.message.InitializeRequest;

/**
 * Initializes a new cluster of control daemons, which is possible only once.
 */
final class InitializeCommand extends AbstractControlCommand {

	@Override
	public void run(CtlContext context) {
		String address = addresses().get(0);
		try {
			InitializeAnswer answer = ControlClient.requireType(InitializeAnswer.class,
					client(context).request(address, new InitializeRequest()));
			if (!answer.accepted()) {
				throw CtlException.failure("refused: " + answer.message());
			}
			context.output().println("initialized");
		}
		catch (MagnolialeadException ex) {
			throw CtlException.failure(address + ": " + ex.getMessage());
		}
	}

}
