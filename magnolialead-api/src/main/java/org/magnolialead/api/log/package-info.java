/**
 * Numbered log events of the daemons, documented in docs/log-events.md.
 */
package org.magnolialead.api.log;
