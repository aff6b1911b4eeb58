/**
 * Decisions of the owner of one database group: scheduling, read routing, sessions,
 * confirmation of writes, failover and at-most-once execution. The classes perform no
 * I/O, start no threads and do not read a clock; all times are passed in as nanoseconds
 * of a monotonic clock.
 */
package org.magnolialead.engine.owner;
