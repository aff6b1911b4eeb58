/**
 * Numbered log events of the daemons.
 */
package org.magnolialead.daemon.log;
