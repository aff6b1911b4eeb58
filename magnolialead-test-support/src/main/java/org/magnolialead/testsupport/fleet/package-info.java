/**
 * Complete fleet of control daemons, entry daemons and database stand-ins that run as
 * processes on the loopback interface, for tests, the demo and experiments.
 */
package org.magnolialead.testsupport.fleet;
