/**
 * Owner role for database groups: drives the decisions of the engine with timers,
 * connections and the control log.
 */
package org.magnolialead.daemon.owner;
