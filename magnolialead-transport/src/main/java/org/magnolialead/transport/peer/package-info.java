/**
 * Peer protocol between magnolialead's own processes: TCP frames with MessagePack.
 */
package org.magnolialead.transport.peer;
