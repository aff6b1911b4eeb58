package org.magnolialead.engine.control;

import java.util.Arrays;
import java.util.Objects;
import java.util.function.BiConsumer;

/**
 * Immutable hash map that shares structure between versions (a hash array mapped trie).
 * Adding or removing an entry copies only the path to it, so that a command costs about
 * the same with a million entries as with one.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class PersistentMap<K, V> {

	private static final int BITS_PER_LEVEL = 5;

	private static final int LEVEL_MASK = (1 << BITS_PER_LEVEL) - 1;

	private static final int HASH_BITS = 32;

	private static final Object[] NO_CHILDREN = {};

	private static final PersistentMap<?, ?> EMPTY = new PersistentMap<>(new Branch(0, NO_CHILDREN), 0);

	private final Branch root;

	private final int size;

	private PersistentMap(Branch root, int size) {
		this.root = root;
		this.size = size;
	}

	/**
	 * Returns the map without entries.
	 * @param <K> type of the keys
	 * @param <V> type of the values
	 * @return the empty map
	 */
	@SuppressWarnings("unchecked")
	public static <K, V> PersistentMap<K, V> empty() {
		return (PersistentMap<K, V>) EMPTY;
	}

	/**
	 * Returns the number of entries.
	 * @return the number of entries
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns the value of a key.
	 * @param key the key
	 * @return the value, or {@code null} if there is none
	 */
	@SuppressWarnings("unchecked")
	public V get(K key) {
		int hash = hashOf(key);
		Object node = this.root;
		int shift = 0;
		while (node instanceof Branch branch) {
			node = branch.child(hash, shift);
			shift += BITS_PER_LEVEL;
		}
		if (node instanceof Collision collision) {
			node = collision.find(key);
		}
		return (node instanceof Leaf leaf && leaf.matches(hash, key)) ? (V) leaf.value : null;
	}

	/**
	 * Returns a map in which a key has a value.
	 * @param key the key
	 * @param value the value
	 * @return the new map
	 */
	public PersistentMap<K, V> with(K key, V value) {
		Objects.requireNonNull(value, "value must not be null");
		Leaf leaf = new Leaf(hashOf(key), key, value);
		Branch nextRoot = put(this.root, 0, leaf);
		return new PersistentMap<>(nextRoot, (get(key) != null) ? this.size : this.size + 1);
	}

	/**
	 * Returns a map without a key.
	 * @param key the key
	 * @return the new map, or this map if it does not contain the key
	 */
	public PersistentMap<K, V> without(K key) {
		if (get(key) == null) {
			return this;
		}
		Object nextRoot = remove(this.root, 0, hashOf(key), key);
		return new PersistentMap<>(asBranch(nextRoot), this.size - 1);
	}

	/**
	 * Passes each entry to an action, in an order that depends only on the hash codes of
	 * the keys.
	 * @param action the action
	 */
	public void forEach(BiConsumer<? super K, ? super V> action) {
		visit(this.root, action);
	}

	private static int hashOf(Object key) {
		int hash = key.hashCode();
		return hash ^ (hash >>> 16);
	}

	private static Branch put(Branch branch, int shift, Leaf leaf) {
		int bit = Branch.bit(leaf.hash, shift);
		int position = branch.position(bit);
		if ((branch.bitmap & bit) == 0) {
			return branch.withInserted(bit, position, leaf);
		}
		Object child = branch.children[position];
		Object nextChild;
		if (child instanceof Branch inner) {
			nextChild = put(inner, shift + BITS_PER_LEVEL, leaf);
		}
		else if (child instanceof Collision collision) {
			nextChild = collision.with(leaf);
		}
		else {
			Leaf present = (Leaf) child;
			nextChild = present.matches(leaf.hash, leaf.key) ? leaf
					: mergeLeaves(present, leaf, shift + BITS_PER_LEVEL);
		}
		return branch.withReplaced(position, nextChild);
	}

	private static Object mergeLeaves(Leaf first, Leaf second, int shift) {
		if (shift >= HASH_BITS) {
			return new Collision(new Leaf[] { first, second });
		}
		Branch branch = new Branch(Branch.bit(first.hash, shift), new Object[] { first });
		return put(branch, shift, second);
	}

	private static Object remove(Object node, int shift, int hash, Object key) {
		if (node instanceof Branch branch) {
			int bit = Branch.bit(hash, shift);
			int position = branch.position(bit);
			Object nextChild = remove(branch.children[position], shift + BITS_PER_LEVEL, hash, key);
			return (nextChild != null) ? branch.withReplaced(position, nextChild).collapsed(shift)
					: branch.withRemoved(bit, position).collapsed(shift);
		}
		if (node instanceof Collision collision) {
			return collision.without(key);
		}
		return null;
	}

	@SuppressWarnings("unchecked")
	private static <K, V> void visit(Object node, BiConsumer<? super K, ? super V> action) {
		if (node instanceof Leaf leaf) {
			action.accept((K) leaf.key, (V) leaf.value);
			return;
		}
		Object[] children = (node instanceof Branch branch) ? branch.children : ((Collision) node).leaves;
		for (Object child : children) {
			visit(child, action);
		}
	}

	private static Branch asBranch(Object root) {
		return (root != null) ? (Branch) root : new Branch(0, NO_CHILDREN);
	}

	private static final class Leaf {

		private final int hash;

		private final Object key;

		private final Object value;

		Leaf(int hash, Object key, Object value) {
			this.hash = hash;
			this.key = key;
			this.value = value;
		}

		boolean matches(int otherHash, Object otherKey) {
			return this.hash == otherHash && this.key.equals(otherKey);
		}

	}

	private static final class Collision {

		private final Leaf[] leaves;

		Collision(Leaf[] leaves) {
			this.leaves = leaves;
		}

		Leaf find(Object key) {
			for (Leaf leaf : this.leaves) {
				if (leaf.key.equals(key)) {
					return leaf;
				}
			}
			return null;
		}

		Collision with(Leaf added) {
			for (int index = 0; index < this.leaves.length; index++) {
				if (this.leaves[index].key.equals(added.key)) {
					Leaf[] copy = this.leaves.clone();
					copy[index] = added;
					return new Collision(copy);
				}
			}
			Leaf[] copy = Arrays.copyOf(this.leaves, this.leaves.length + 1);
			copy[this.leaves.length] = added;
			return new Collision(copy);
		}

		Object without(Object key) {
			Leaf[] kept = Arrays.stream(this.leaves).filter((leaf) -> !leaf.key.equals(key)).toArray(Leaf[]::new);
			if (kept.length == this.leaves.length) {
				return this;
			}
			return switch (kept.length) {
				case 0 -> null;
				case 1 -> kept[0];
				default -> new Collision(kept);
			};
		}

	}

	private static final class Branch {

		private final int bitmap;

		private final Object[] children;

		Branch(int bitmap, Object[] children) {
			this.bitmap = bitmap;
			this.children = children;
		}

		static int bit(int hash, int shift) {
			return 1 << ((hash >>> shift) & LEVEL_MASK);
		}

		int position(int bit) {
			return Integer.bitCount(this.bitmap & (bit - 1));
		}

		Object child(int hash, int shift) {
			int bit = bit(hash, shift);
			return ((this.bitmap & bit) != 0) ? this.children[position(bit)] : null;
		}

		Branch withInserted(int bit, int position, Object child) {
			Object[] copy = new Object[this.children.length + 1];
			System.arraycopy(this.children, 0, copy, 0, position);
			copy[position] = child;
			System.arraycopy(this.children, position, copy, position + 1, this.children.length - position);
			return new Branch(this.bitmap | bit, copy);
		}

		Branch withReplaced(int position, Object child) {
			Object[] copy = this.children.clone();
			copy[position] = child;
			return new Branch(this.bitmap, copy);
		}

		Branch withRemoved(int bit, int position) {
			Object[] copy = new Object[this.children.length - 1];
			System.arraycopy(this.children, 0, copy, 0, position);
			System.arraycopy(this.children, position + 1, copy, position, copy.length - position);
			return new Branch(this.bitmap & ~bit, copy);
		}

		Object collapsed(int shift) {
			if (shift == 0) {
				return this;
			}
			if (this.children.length == 0) {
				return null;
			}
			boolean single = this.children.length == 1 && !(this.children[0] instanceof Branch);
			return single ? this.children[0] : this;
		}

	}

}
