/**
 * Decisions about requests that wait for a member connection: their order by rank and
 * client account, their expected wait and the reasons for which they are refused. The
 * classes perform no I/O and do not read a clock.
 */
package org.magnolialead.engine.queue;
