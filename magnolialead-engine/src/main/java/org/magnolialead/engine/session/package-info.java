/**
 * Decisions about database client sessions: routing of reads, alignment of member
 * connections with sessions, admission and backoff, failure detection of primaries and
 * selection of their replacement. The classes perform no I/O and do not read a clock.
 */
package org.magnolialead.engine.session;
