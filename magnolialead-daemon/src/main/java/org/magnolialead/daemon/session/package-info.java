/**
 * Sessions of database clients, the pools of member connections that these sessions
 * share, and the promotion of members in the groups that this daemon owns. Everything
 * runs on one serial executor, so no locks are needed.
 */
package org.magnolialead.daemon.session;
