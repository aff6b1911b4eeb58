/**
 * Ownership of database groups: connects the decisions of the engine to timers, member
 * connections and the control log.
 */
package org.magnolialead.daemon.owner;
