package org.magnolialead.ctl;

/**
 * Sub-command of the command line.
 */
interface CtlCommand {

	/**
	 * Runs the command.
	 * @param context dependencies of the command
	 * @throws CtlException if it fails
	 */
	void run(CtlContext context);

}
