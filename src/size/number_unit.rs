/// Defines a newtype around a number with `Display` and `FromStr`.
macro_rules! number_unit {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
        )]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::error::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| {
                    crate::error::Error::new(
                        crate::error::ResultCode::SettingsOutOfRange,
                        format!("`{text}` is not a valid {}", stringify!($name)),
                    )
                })
            }
        }
    };
}

pub(crate) use number_unit;
