/**
 * Durable storage of a control daemon: identity, vote, log and snapshot.
 */
package org.magnolialead.storage;
