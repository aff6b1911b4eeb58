/**
 * Command line for operators.
 */
package org.magnolialead.ctl;
