import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A service of one primary and its replicas, with a log that replicates asynchronously. */
final class Group {

	/** A commit in the log of a member. */
	record Entry(long term, long number, Map<String, String> writes, String id, long committedAt) {
	}

	static final long NETWORK_MILLISECONDS = 1;

	static final long PROMOTE_MILLISECONDS = 300;

	final String service;

	final int syncReplicas;

	final Map<String, Member> members = new LinkedHashMap<>();

	/** Commits that a member acknowledged, by term and number. */
	final Map<String, Entry> acknowledged = new ConcurrentHashMap<>();

	/** What a promoted member lacked, one text per promotion. */
	final List<String> lost = new ArrayList<>();

	volatile Member primary;

	volatile int promotions;

	private volatile boolean stopped;

	Group(String service, int syncReplicas) {
		this.service = service;
		this.syncReplicas = syncReplicas;
	}

	void start() {
		Thread thread = new Thread(this::replicate, "replication-" + this.service);
		thread.setDaemon(true);
		thread.start();
	}

	private void replicate() {
		while (!this.stopped) {
			synchronized (this) {
				long now = System.nanoTime() / 1_000_000;
				Member source = this.primary;
				for (Member member : this.members.values()) {
					if (source != null && !source.down && member != source && !member.down && !member.deaf) {
						member.receiveFrom(source, now);
					}
					member.apply(now);
				}
				notifyAll();
			}
			try {
				Thread.sleep(1);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/** Commits on the primary and waits until the commit may be acknowledged. */
	Entry commit(Member member, long term, Map<String, String> writes, String id) throws InterruptedException {
		synchronized (this) {
			if (!member.leads(term)) {
				return null;
			}
			Entry entry = new Entry(term, member.received().number() + 1, Map.copyOf(writes), id,
					System.nanoTime() / 1_000_000);
			member.log.add(entry);
			member.applied = member.log.size();
			while (!isSynced(entry)) {
				wait(50);
				if (member.down || !member.leads(term)) {
					throw new InterruptedException("lost the lead before a replica received the commit");
				}
			}
			this.acknowledged.put(entry.term() + "." + entry.number(), entry);
			return entry;
		}
	}

	private boolean isSynced(Entry entry) {
		long holders = this.members.values().stream().filter((member) -> member != this.primary && member.log.contains(entry)).count();
		return holders >= this.syncReplicas;
	}

	/** Starts a promotion; returns false if the member is not running. */
	boolean promote(String id) throws InterruptedException {
		Member chosen = this.members.get(id);
		if (chosen == null || chosen.down) {
			return false;
		}
		if (chosen == this.primary) {
			return true;
		}
		Thread thread = new Thread(() -> {
			try {
				Thread.sleep(PROMOTE_MILLISECONDS);
			}
			catch (InterruptedException ex) {
				return;
			}
			lead(chosen);
		});
		thread.setDaemon(true);
		thread.start();
		return true;
	}

	private synchronized void lead(Member chosen) {
		if (chosen.down || chosen == this.primary) {
			return;
		}
		List<Entry> lacking = this.acknowledged.values().stream().filter((entry) -> !chosen.log.contains(entry)).toList();
		this.promotions++;
		long term = this.members.values().stream().mapToLong((member) -> member.term).max().orElse(0) + 1;
		Record.line("%s leads term %d with %s; acknowledged commits that it lacks: %s", chosen.id, term,
				chosen.received().term() + "." + chosen.received().number(),
				lacking.stream().map((entry) -> entry.term() + "." + entry.number() + " (id " + entry.id() + ")").toList());
		this.members.values()
			.forEach((member) -> Record.line("  %s: received %d.%d, %s", member.id, member.received().term(),
					member.received().number(), member.down ? "down" : member.deaf ? "receives nothing" : "running"));
		if (!lacking.isEmpty()) {
			this.lost.add(chosen.id + " leads term " + term + " and lacks " + lacking.size() + " acknowledged commits");
		}
		lacking.forEach((entry) -> this.acknowledged.remove(entry.term() + "." + entry.number()));
		Member former = this.primary;
		this.primary = chosen;
		chosen.deaf = false;
		chosen.term = term;
		chosen.apply(Long.MAX_VALUE);
		if (former != null) {
			former.reportNow();
		}
		chosen.reportNow();
	}

	void stop() {
		this.stopped = true;
	}

}
