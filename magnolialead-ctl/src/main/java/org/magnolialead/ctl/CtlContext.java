package org.magnolialead.ctl;

import java.io.PrintStream;

/**
 * What commands may use.
 *
 * @param connections opens connections to control daemons
 * @param output receives the results
 */
record CtlContext(ControlConnectionFactory connections, PrintStream output) {
}
