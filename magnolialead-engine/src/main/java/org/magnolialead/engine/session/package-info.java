/**
 * Decisions about the sessions of database clients: which member may serve a read, what a
 * member connection must be told before a statement, when a primary counts as failed and
 * which member replaces it.
 */
package org.magnolialead.engine.session;
