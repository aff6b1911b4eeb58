package org.magnolialead.engine.owner;

/**
 * Queue ordered by time that counts the entries up to a given time in logarithmic time,
 * which the sorted collections of the JDK do not support. Implemented as a treap with
 * subtree sizes whose priorities are hashes of the sequence numbers.
 *
 * @param <W> type of the caller's work
 */
final class OrderedQueue<W> {

	private Node<W> root;

	boolean isEmpty() {
		return this.root == null;
	}

	int size() {
		return size(this.root);
	}

	QueueEntry<W> first() {
		Node<W> node = this.root;
		while (node.left != null) {
			node = node.left;
		}
		return node.entry;
	}

	void add(QueueEntry<W> entry) {
		this.root = insert(this.root, new Node<>(entry));
	}

	void remove(QueueEntry<W> entry) {
		this.root = delete(this.root, entry);
	}

	/**
	 * Counts the entries whose order is not after a time.
	 * @param order the time
	 * @return the number of entries
	 */
	int countUpTo(long order) {
		int count = 0;
		Node<W> node = this.root;
		while (node != null) {
			if (node.entry.order() - order <= 0) {
				count += size(node.left) + 1;
				node = node.right;
			}
			else {
				node = node.left;
			}
		}
		return count;
	}

	private static int size(Node<?> node) {
		return (node != null) ? node.size : 0;
	}

	private static <W> Node<W> insert(Node<W> node, Node<W> added) {
		if (node == null) {
			return added;
		}
		if (added.priority > node.priority) {
			split(node, added);
			return added.resized();
		}
		if (added.entry.precedes(node.entry)) {
			node.left = insert(node.left, added);
		}
		else {
			node.right = insert(node.right, added);
		}
		return node.resized();
	}

	// Splits a tree into the left and right subtrees of a node without children.
	private static <W> void split(Node<W> tree, Node<W> middle) {
		if (tree == null) {
			return;
		}
		if (tree.entry.precedes(middle.entry)) {
			split(tree.right, middle);
			tree.right = middle.left;
			middle.left = tree.resized();
		}
		else {
			split(tree.left, middle);
			tree.left = middle.right;
			middle.right = tree.resized();
		}
	}

	private static <W> Node<W> delete(Node<W> node, QueueEntry<W> entry) {
		if (node == null) {
			throw new IllegalStateException("entry is not in the queue");
		}
		if (node.entry == entry) {
			return merge(node.left, node.right);
		}
		if (entry.precedes(node.entry)) {
			node.left = delete(node.left, entry);
		}
		else {
			node.right = delete(node.right, entry);
		}
		return node.resized();
	}

	private static <W> Node<W> merge(Node<W> left, Node<W> right) {
		if (left == null) {
			return right;
		}
		if (right == null) {
			return left;
		}
		if (left.priority > right.priority) {
			left.right = merge(left.right, right);
			return left.resized();
		}
		right.left = merge(left, right.left);
		return right.resized();
	}

	private static final class Node<W> {

		private final QueueEntry<W> entry;

		private final long priority;

		private int size = 1;

		private Node<W> left;

		private Node<W> right;

		Node(QueueEntry<W> entry) {
			this.entry = entry;
			this.priority = hash(entry.sequence());
		}

		Node<W> resized() {
			this.size = 1 + OrderedQueue.size(this.left) + OrderedQueue.size(this.right);
			return this;
		}

		// Finalizer of SplitMix64, which spreads consecutive numbers evenly.
		private static long hash(long value) {
			long mixed = (value + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
			mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
			return mixed ^ (mixed >>> 31);
		}

	}

}
