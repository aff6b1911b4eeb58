/**
 * Decisions about client accounts.
 */
package org.magnolialead.engine.account;
