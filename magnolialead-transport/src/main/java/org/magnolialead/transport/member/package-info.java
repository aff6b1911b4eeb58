/**
 * Client for the HTTP interface of database members, with connection pooling.
 */
package org.magnolialead.transport.member;
