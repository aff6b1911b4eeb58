/**
 * Sessions of database clients: one object per session, connections to database members
 * that the sessions of this daemon share, and the promotion of members for the groups
 * that this daemon owns. Everything runs on one serial executor, so nothing here locks.
 */
package org.magnolialead.daemon.session;
