/**
 * Command line tool for operators.
 */
package org.magnolialead.ctl;
