package org.magnolialead.ctl;

/**
 * Sub-command of the command line.
 */
interface CtlCommand {

	/**
	 * Runs the command.
	 * @param context what the command may use
	 * @throws CtlException if it fails
	 */
	void run(CtlContext context);

}
