package org.magnolialead.ctl;

import org.kohsuke.args4j.Option;
import org.magnolialead.api.command.ControlCommand;

/**
 * Removes a permanently decommissioned database member.
 */
final class ForgetMemberCommand extends AbstractControlCommand {

	@Option(name = "--group", required = true, usage = "name of the database group")
	private String group;

	@Option(name = "--member", required = true, usage = "name of the member")
	private String member;

	@Override
	public void run(CtlContext context) {
		client(context).submit(new ControlCommand.ForgetMember(this.group, this.member));
		context.output().println("forgotten " + this.group + "/" + this.member);
	}

}
