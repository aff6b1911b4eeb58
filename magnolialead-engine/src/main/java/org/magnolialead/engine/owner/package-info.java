/**
 * Decisions of the owner of one database group: scheduling, read routing, sessions,
 * confirmation of writes, failover and at-most-once execution. Nothing here opens
 * sockets, starts threads or reads a clock; all times are nanoseconds of a monotonic
 * clock and are passed in.
 */
package org.magnolialead.engine.owner;
