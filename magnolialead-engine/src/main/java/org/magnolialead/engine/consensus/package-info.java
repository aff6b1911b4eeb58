/**
 * Replication of the control log: elections, log replication, snapshots and membership,
 * without input, output, threads or clocks.
 */
package org.magnolialead.engine.consensus;
