/**
 * Recording of service levels in bounded memory.
 */
package org.magnolialead.daemon.servicelevel;
