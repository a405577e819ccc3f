declare const brand: unique symbol;

/** A primitive that the compiler keeps apart from others of the same shape. Made by a cast at the boundary. */
export type Brand<Primitive, Name extends string> = Primitive & { readonly [brand]: Name; };
