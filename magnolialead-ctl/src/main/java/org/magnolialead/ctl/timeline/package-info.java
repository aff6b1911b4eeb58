/**
 * Lines of saved logs that explain what became of one request.
 */
package org.magnolialead.ctl.timeline;
