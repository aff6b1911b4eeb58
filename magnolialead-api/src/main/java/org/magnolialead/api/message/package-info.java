/**
 * Messages that magnolialead's own processes exchange over the peer protocol.
 */
package org.magnolialead.api.message;
