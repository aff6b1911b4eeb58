/**
 * Peer protocol between magnolialead processes: MessagePack messages in TCP frames.
 */
package org.magnolialead.transport.peer;
