/**
 * Types shared by all modules: identifiers, profiles, log positions, errors and messages.
 */
package org.magnolialead.api;
