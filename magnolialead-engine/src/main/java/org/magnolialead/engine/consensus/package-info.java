/**
 * Raft consensus for the control log: elections, log replication, snapshots and
 * membership changes. The code performs no input or output and uses no threads or clocks.
 */
package org.magnolialead.engine.consensus;
