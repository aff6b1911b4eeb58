package org.magnolialead.api;

/**
 * Step of a request or of a control operation at which an error arose.
 */
public enum Step {

	/** Reading the request from the caller. */
	RECEIVE,
	/** Checking that this daemon may accept requests. */
	LEASE,
	/** Looking up the profile. */
	PROFILE,
	/** Checking the deadline. */
	DEADLINE,
	/** Checking the session token. */
	SESSION,
	/** Deciding whether there is capacity for the request. */
	ADMISSION,
	/** Forwarding to the owner of the database group. */
	FORWARD,
	/** Recording a non-repeatable request in the control log. */
	RECORD,
	/** Waiting for a slot of a database member. */
	QUEUE,
	/** Opening a connection to a database member. */
	CONNECT,
	/** Executing at a database member. */
	EXECUTE,
	/** Waiting until a majority of members hold a write. */
	CONFIRM,
	/** Finding the transaction of a statement. */
	TRANSACTION,
	/** Promoting a database member. */
	PROMOTE,
	/** Changing the replicated control state. */
	CONTROL,
	/** Reading or checking settings. */
	SETTINGS,
	/** Reading or writing the data folder. */
	STORAGE

}
