/**
 * Numbered log events of the daemons, catalogued in docs/log-events.md.
 */
package org.magnolialead.api.log;
