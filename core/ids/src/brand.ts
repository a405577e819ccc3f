declare const brand: unique symbol;

/** A primitive type that the compiler distinguishes from others of the same kind. A cast converts a value to it. */
export type Brand<Primitive, Name extends string> = Primitive & { readonly [brand]: Name; };
