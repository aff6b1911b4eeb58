package org.magnolialead.engine.queue;

/**
 * Connections for which a request competes. Requests that wait for the primary must not
 * delay reads that a replica can serve, so they are in different lanes.
 *
 * @param onReplica whether a replica can serve the request
 * @param avoided member that must not serve it as a replica, or {@code null}
 */
public record QueueLane(boolean onReplica, Object avoided) {

}
