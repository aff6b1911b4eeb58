/**
 * Stand-in for one member of a database group, for tests and the demo.
 */
package org.magnolialead.testsupport.standin;
