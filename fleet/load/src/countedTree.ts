import type { Random } from "@knapweedwood/core.random/random";

interface Node<Item> {
    item: Item;
    /** Random; a parent's is at least that of its children, which keeps the expected depth logarithmic. */
    heapOrder: number;
    size: number;
    left: Node<Item> | undefined;
    right: Node<Item> | undefined;
}

/**
 * Sorted items in a treap whose nodes know the sizes of their subtrees. Adding, removing, finding and counting items
 * takes logarithmic time.
 */
export class CountedTree<Item> {
    private readonly compare: (left: Item, right: Item) => number;
    private readonly random: Random;
    private root: Node<Item> | undefined;

    /** @param compare returns 0 only for the same item */
    constructor(opts: { compare: (left: Item, right: Item) => number; random: Random; }) {
        this.compare = opts.compare;
        this.random = opts.random;
    }

    get size(): number {
        return sizeOf(this.root);
    }

    add(item: Item): void {
        const [before, after] = split(this.root, other => this.compare(other, item) < 0);
        const node = { item, heapOrder: this.random.next(), size: 1, left: undefined, right: undefined };
        this.root = merge(merge(before, node), after);
    }

    remove(item: Item): void {
        const [before, rest] = split(this.root, other => this.compare(other, item) < 0);
        const [, after] = split(rest, other => this.compare(other, item) <= 0);
        this.root = merge(before, after);
    }

    /** Returns the number of items for which `isBefore` returns true. It must be true for a prefix of the items. */
    countBefore(isBefore: (item: Item) => boolean): number {
        let count = 0;
        for (let node = this.root; node !== undefined;) {
            const isLeft = isBefore(node.item);
            count += isLeft ? sizeOf(node.left) + 1 : 0;
            node = isLeft ? node.right : node.left;
        }
        return count;
    }

    /** Returns the first item for which `isBefore` returns false. It must be true for a prefix of the items. */
    firstAfter(isBefore: (item: Item) => boolean): Item | undefined {
        let first: Item | undefined;
        for (let node = this.root; node !== undefined;) {
            const isLeft = isBefore(node.item);
            first = isLeft ? first : node.item;
            node = isLeft ? node.right : node.left;
        }
        return first;
    }

    /** Returns the first item; undefined if there is none. */
    first(): Item | undefined {
        return this.firstAfter(() => false);
    }
}

function sizeOf<Item>(node: Node<Item> | undefined): number {
    return node?.size ?? 0;
}

/** Splits a subtree into the items for which `isBefore` returns true and the others. */
function split<Item>(
    node: Node<Item> | undefined,
    isBefore: (item: Item) => boolean,
): [Node<Item> | undefined, Node<Item> | undefined] {
    if (node === undefined) {
        return [undefined, undefined];
    }
    if (isBefore(node.item)) {
        const [before, after] = split(node.right, isBefore);
        return [withChildren(node, node.left, before), after];
    }
    const [before, after] = split(node.left, isBefore);
    return [before, withChildren(node, after, node.right)];
}

/** Merges two subtrees. All items of `left` are before those of `right`. */
function merge<Item>(left: Node<Item> | undefined, right: Node<Item> | undefined): Node<Item> | undefined {
    if (left === undefined || right === undefined) {
        return left ?? right;
    }
    return left.heapOrder >= right.heapOrder
        ? withChildren(left, left.left, merge(left.right, right))
        : withChildren(right, merge(left, right.left), right.right);
}

function withChildren<Item>(
    node: Node<Item>,
    left: Node<Item> | undefined,
    right: Node<Item> | undefined,
): Node<Item> {
    node.left = left;
    node.right = right;
    node.size = sizeOf(left) + sizeOf(right) + 1;
    return node;
}
