declare const brand: unique symbol;

/** A primitive type that the compiler distinguishes from others of the same kind. Values enter the type by a cast. */
export type Brand<Primitive, Name extends string> = Primitive & { readonly [brand]: Name; };
