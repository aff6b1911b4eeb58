import java.nio.file.Path;

/** Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Case {

	private static final long LIMIT_MILLISECONDS = 116_000;

	interface Play {

		boolean isBroken(boolean trouble) throws Exception;

	}

	private Case() {
	}

	static void run(String[] arguments, Play play) throws Exception {
		Record.open(Path.of(arguments[0]));
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Thread limit = new Thread(() -> {
			try {
				Thread.sleep(LIMIT_MILLISECONDS);
				Runtime.getRuntime().exit(2);
			}
			catch (InterruptedException ex) {
				return;
			}
		});
		limit.setDaemon(true);
		limit.start();
		int code;
		try {
			boolean broken = play.isBroken(trouble);
			Record.show("%s", broken ? "the rule was broken" : "the rule held");
			code = broken ? 1 : 0;
		}
		catch (Exception ex) {
			Record.show("the case could not run: %s", ex);
			ex.printStackTrace();
			code = 2;
		}
		Record.close();
		System.exit(code);
	}

}
