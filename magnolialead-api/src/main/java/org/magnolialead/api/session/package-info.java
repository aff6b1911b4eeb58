/**
 * Statements of client sessions and their answers.
 */
package org.magnolialead.api.session;
