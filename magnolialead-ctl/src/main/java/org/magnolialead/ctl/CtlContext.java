package org.magnolialead.ctl;

import java.io.PrintStream;

/**
 * Dependencies of commands.
 *
 * @param connections opens connections to control daemons
 * @param output receives the results
 */
record CtlContext(ControlConnectionFactory connections, PrintStream output) {
}
